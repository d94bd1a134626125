// Package namer names the values of enumerations.
package namer

import "fmt"

// Name returns the name at index v, or the number if there is none: a value from another process may be of a later version of the program.
func Name[V ~uint8](v V, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("unknown (%d)", uint8(v))
}
