// Package codec encodes messages and records as CBOR.
package codec

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// Codec encodes and decodes values as CBOR, including registered types in interface fields.
type Codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// Registration assigns a CBOR tag number to the type of a sample value.
type Registration struct {
	Tag    uint64
	Sample any
}

// maxElements limits the elements of a decoded array and the pairs of a decoded map.
const maxElements = 1 << 22

// New returns a codec for the registered types. Map keys are sorted, so that equal values have equal encodings.
func New(registrations ...Registration) (*Codec, error) {
	tags := cbor.NewTagSet()
	tagOptions := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
	for _, r := range registrations {
		if err := tags.Add(tagOptions, reflect.TypeOf(r.Sample), r.Tag); err != nil {
			return nil, fmt.Errorf("register CBOR tag %d: %w", r.Tag, err)
		}
	}
	encoder, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncModeWithTags(tags)
	if err != nil {
		return nil, fmt.Errorf("create CBOR encoder: %w", err)
	}
	// Text that is not UTF-8 would otherwise make a whole batch, record or snapshot unreadable for one name in it.
	options := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, UTF8: cbor.UTF8DecodeInvalid}
	decoder, err := options.DecModeWithTags(tags)
	if err != nil {
		return nil, fmt.Errorf("create CBOR decoder: %w", err)
	}
	return &Codec{encoder: encoder, decoder: decoder}, nil
}

// MustNew is New for package variables; it panics on an error.
func MustNew(registrations ...Registration) *Codec {
	c, err := New(registrations...)
	if err != nil {
		panic(err)
	}
	return c
}

// Encode returns the CBOR encoding of v.
func (c *Codec) Encode(v any) ([]byte, error) { return c.encoder.Marshal(v) }

// Decode decodes the CBOR in data into v, which must be a pointer.
func (c *Codec) Decode(data []byte, v any) error { return c.decoder.Unmarshal(data, v) }
