package namer_test

import (
	"fmt"

	"github.com/sapphiresail/sapphiresail/internal/namer"
)

func ExampleName() {
	type colour uint8
	for _, c := range []colour{0, 1, 2} {
		fmt.Println(namer.Name(c, "red", "green"))
	}
	// Output:
	// red
	// green
	// unknown (2)
}
