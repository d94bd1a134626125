package event_test

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/event"
)

var (
	// numberInText is a word that is an event number; numbers of events are below 500, and those of answers to callers are not.
	numberInText = regexp.MustCompile(`^[1-4]\d\d$`)
	// quantity is a number with its unit.
	quantity = regexp.MustCompile(`\d+ (lines a second|of all)`)
	// numberInLine is the event number of a log line, or of a pattern that finds such lines.
	numberInLine = regexp.MustCompile(`"event":(\d+)(?:\[(\d+)\])?`)
)

// eventNumbers returns the event numbers that a page names, with the row of each.
func eventNumbers(page string) map[int]int {
	numbers := map[int]int{}
	row := 0
	for line := range strings.Lines(page) {
		row++
		for _, m := range numberInLine.FindAllStringSubmatch(line, -1) {
			for _, last := range append(strings.Split(m[2], ""), "")[:max(1, len(m[2]))] {
				n, _ := strconv.Atoi(m[1] + last)
				numbers[n] = row
			}
		}
		if strings.HasPrefix(line, "    ") {
			continue // in log lines most numbers are values
		}
		for _, word := range strings.FieldsFunc(quantity.ReplaceAllString(line, ""), func(r rune) bool { return strings.ContainsRune(" \n()[]`;", r) }) {
			if word = strings.TrimRight(word, ".,:"); numberInText.MatchString(word) {
				n, _ := strconv.Atoi(word)
				numbers[n] = row
			}
		}
	}
	return numbers
}

// TestOperationsPage guards against a page for engineers on call that names an event which no process writes.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	known := map[int]bool{}
	for _, e := range event.All() {
		known[e.Number] = true
	}
	numbers := eventNumbers(string(page))
	for _, n := range []int{117, 401, 402, 404, 405, 410, 411, 412, 413, 414, 415, 420, 421, 422, 425, 426, 433, 440, 442} {
		assert.Assert(t, numbers[n] > 0, "the page no longer names %d, or the pattern does not find it", n)
	}
	for n, row := range numbers {
		assert.Assert(t, known[n], "docs/OPERATIONS.md:%d: no event %d", row, n)
	}
}

// TestEventNumbers guards against a pattern that does not find the ways in which the page names events.
func TestEventNumbers(t *testing.T) {
	for text, want := range map[string][]int{
		"counted (442). Next": {442}, "410, 413 or 414 with": {410, 413, 414}, "402 with a small": {402}, "see 199": {199}, "`x` (433; outcome)": {433},
		`    grep -h '"event":40[12]' LOGS`: {401, 402}, `    1.5 k {"jobs":245,"event":440}`: {440},
		"became a 504, in 3.412 s after 0.250 and 255ms, 1,200 lines, 300 lines a second": {},
	} {
		found := eventNumbers(text)
		assert.Equal(t, len(found), len(want), "%s: %v", text, found)
		for _, n := range want {
			assert.Assert(t, found[n] > 0, "%s: %v", text, found)
		}
	}
}
