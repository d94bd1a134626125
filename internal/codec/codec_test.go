package codec_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/codec"
)

// TestTextOfAnyBytesIsDecoded guards against a message that no process can read because one name in it is not UTF-8.
func TestTextOfAnyBytesIsDecoded(t *testing.T) {
	c := codec.MustNew()
	for _, names := range []map[string][]string{
		{"key": {"plain", "i-\xff\xfe"}},
		{"\xc3\x28": {""}},
	} {
		encoded, err := c.Encode(names)
		assert.NilError(t, err)
		var decoded map[string][]string
		assert.NilError(t, c.Decode(encoded, &decoded))
		assert.DeepEqual(t, decoded, names)
	}
}
