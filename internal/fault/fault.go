// Package fault provides a generic error type that each package instantiates with its own kinds of error.
package fault

import "fmt"

// KindOf is the constraint on a package's type of error kinds.
type KindOf interface {
	~uint8
	error
}

// Error is a failed operation with its kind and cause.
type Error[K KindOf] struct {
	Op   string
	Kind K
	Err  error
}

// Error formats the failure as operation, kind and cause.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind.Error())
	}
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind.Error(), e.Err.Error())
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// Is reports whether target is the kind of this error, so that errors.Is matches kinds.
func (e *Error[K]) Is(target error) bool {
	k, ok := target.(K)
	return ok && k == e.Kind
}

// New returns an error of kind k for operation op with a formatted cause.
func New[K KindOf](op string, k K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: k, Err: fmt.Errorf(format, args...)}
}
