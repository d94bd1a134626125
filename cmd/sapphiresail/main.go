// Command sapphiresail is a fleet capacity and maintenance manager.
package main

import (
	"os"

	"github.com/sapphiresail/sapphiresail/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
