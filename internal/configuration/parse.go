package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/sapphiresail/sapphiresail/internal/fault"
)

// Kind classifies the errors of this package.
type Kind uint8

// Kinds of errors.
const (
	KindSyntax Kind = iota + 1
	KindInvalid
)

// Error returns the text of the kind.
func (k Kind) Error() string {
	return [...]string{"none", "configuration cannot be read", "configuration is invalid"}[k]
}

// Error is a failed operation of this package.
type Error = fault.Error[Kind]

// MaxBytes is the size limit of a configuration file.
const MaxBytes = 4 << 20

// Patterns of the errors of the YAML decoder.
var (
	positionPattern  = regexp.MustCompile(`^\[(\d+):(\d+)\] ([^\n]*)`)
	typeErrorPattern = regexp.MustCompile(`cannot unmarshal (\w+) into Go struct field \S+ of type (\w+)`)
	quotePattern     = regexp.MustCompile(`"([^"]+)"`)
)

// Parse decodes, completes and validates a configuration. The error lists every violation with file, line and key; file is only
// a name for these messages.
func Parse(file string, text []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := Decode(file, text, c); err != nil {
		return nil, err
	}
	c.applyDefaults()
	violations := c.validate()
	if len(violations) == 0 {
		return c, nil
	}
	return nil, &Error{Op: "validate", Kind: KindInvalid, Err: withLineNumbers(file, text, violations)}
}

// Decode reads YAML strictly into v: unknown and duplicate keys are errors that name file, line and key.
func Decode(file string, text []byte, v any) error {
	if len(text) > MaxBytes {
		return fault.New("read "+file, KindSyntax, "%s: %d bytes, at most %d are read", file, len(text), MaxBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	err := decoder.Decode(v)
	if errors.Is(err, io.EOF) {
		return fault.New("read", KindSyntax, "%s:1: is empty", file)
	}
	if err == nil {
		return nil
	}
	message := yaml.FormatError(err, false, false)
	message = typeErrorPattern.ReplaceAllString(message, "want a $2, not a $1")
	if m := positionPattern.FindStringSubmatch(message); m != nil {
		return fault.New("read", KindSyntax, "%s:%s: %s%s", file, m[1], keyOnLine(text, m[1], m[3]), m[3])
	}
	return fault.New("read", KindSyntax, "%s%s: %s", file, locateQuotedValue(text, message), message)
}

// keyOnLine returns the key on a line as the prefix of an error message, or nothing if the message already names the key.
func keyOnLine(text []byte, lineNumber, message string) string {
	n, err := strconv.Atoi(lineNumber)
	lines := strings.Split(string(text), "\n")
	if err != nil || n < 1 || n > len(lines) {
		return ""
	}
	key, _, ok := strings.Cut(lines[n-1], ":")
	key = strings.Trim(key, " -\t")
	if !ok || key == "" || strings.Contains(message, key) {
		return ""
	}
	return key + ": "
}

// locateQuotedValue returns the line and the key of a value that an error message quotes without its position.
func locateQuotedValue(text []byte, message string) string {
	quoted := quotePattern.FindStringSubmatch(message)
	if quoted == nil {
		return ""
	}
	for n, line := range strings.Split(string(text), "\n") {
		if key, value, ok := strings.Cut(line, ":"); ok && strings.Contains(value, quoted[1]) {
			return fmt.Sprintf(":%d: %s", n+1, strings.Trim(key, " -"))
		}
	}
	return ""
}

// Digest returns the hash of the canonical YAML, which does not depend on comments and formatting of the source.
func (c *Configuration) Digest() string {
	sum := sha256.Sum256(c.CanonicalYAML())
	return hex.EncodeToString(sum[:8])
}

// CanonicalYAML returns the configuration as YAML in a fixed format.
func (c *Configuration) CanonicalYAML() []byte {
	text, err := yaml.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("marshal configuration: %v", err))
	}
	return text
}

// violation is a broken validation rule and the YAML path at which it was found.
type violation struct {
	path   string
	detail string
}

// withLineNumbers turns violations into one error a line, each with the line of its YAML path.
func withLineNumbers(file string, text []byte, violations []violation) error {
	tree, err := parser.ParseBytes(text, 0)
	lines := make([]error, 0, len(violations))
	for _, violation := range violations {
		line := 1
		if err == nil {
			line = lineOf(tree, violation.path)
		}
		lines = append(lines, fmt.Errorf("%s:%d: %s: %s", file, line, strings.TrimPrefix(violation.path, "$."), violation.detail))
	}
	return errors.Join(lines...)
}

// lineOf returns the line of path, or of its nearest parent that the file contains.
func lineOf(tree *ast.File, path string) int {
	for path != "$" && path != "" {
		yamlPath, err := yaml.PathString(path)
		if err == nil {
			if node, err := yamlPath.FilterFile(tree); err == nil && node != nil && node.GetToken() != nil {
				return node.GetToken().Position.Line
			}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}
