package demonstrator

import (
	"embed"
	"fmt"

	"github.com/sapphiresail/sapphiresail/internal/configuration"
)

//go:embed sites/*.yaml
var sites embed.FS

// Site returns the configuration of one of the two example sites, as YAML and parsed.
func Site(name string) ([]byte, *configuration.Configuration, error) {
	file := "sites/" + name + ".yaml"
	text, err := sites.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("site %q: want merrimack or macaulay", name)
	}
	c, err := configuration.Parse(file, text)
	return text, c, err
}
