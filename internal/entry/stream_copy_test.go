package entry

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/table"
)

func TestReadEvent(t *testing.T) {
	tests := map[string]struct {
		text   string
		events []string
		err    error
	}{
		"two events":        {"data: a\n\ndata: b\n\n", []string{"data: a\n\n", "data: b\n\n"}, errTruncated},
		"carriage returns":  {"data: a\r\n\r\n", []string{"data: a\r\n\r\n"}, errTruncated},
		"cut in an event":   {"data: a\n\ndata: b", []string{"data: a\n\n"}, errTruncated},
		"cut before a line": {"data: a\n", nil, errTruncated},
		"too long":          {"data: " + strings.Repeat("x", maxEventLength+1) + "\n\n", nil, errEventTooLarge},
		"comment":           {": hello\n\n", []string{": hello\n\n"}, errTruncated},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReader(strings.NewReader(tc.text))
			var events []string
			for {
				event, err := readEvent(r)
				if err != nil {
					assert.ErrorIs(t, err, tc.err)
					break
				}
				events = append(events, string(event))
			}
			assert.DeepEqual(t, events, tc.events)
		})
	}
}

// FuzzReadEvent checks that the events read are a prefix of the stream, in order, and that no event
// with text is taken for the end of the stream.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		var read []byte
		for {
			event, err := readEvent(r)
			if err != nil {
				break
			}
			assert.Assert(t, len(event) > 0)
			assert.Assert(t, !isDone(event) || !carriesToken(event))
			read = append(read, event...)
		}
		assert.Assert(t, bytes.HasPrefix(data, read))
	})
}

func TestServiceFor(t *testing.T) {
	service := func(name, path string) table.Change {
		r := table.NewRow(name)
		r.Kind, r.Path = table.KindService, path
		return table.Change{Name: name, Row: &r}
	}
	tab := (&table.Table{}).Apply(table.Edit{Changes: []table.Change{
		service("renewals", "/renewals"), service("gifts", "/renewals/gifts"),
	}}, 1)
	tests := map[string]string{
		"/renewals": "renewals", "/renewals/7": "renewals", "/renewals/gifts/1": "gifts", "/renewalsx": "", "/": "",
	}
	for path, want := range tests {
		t.Run(path, func(t *testing.T) {
			r, ok := serviceFor(tab, path)
			assert.Equal(t, ok, want != "")
			assert.Equal(t, r.Name, want)
		})
	}
}
