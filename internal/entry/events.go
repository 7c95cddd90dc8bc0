package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"rockcleat/internal/openai"
)

// maxEventLength is the maximum length of an event, in bytes.
const maxEventLength = 1 << 20

// Syntax of event streams.
var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// Errors of incomplete or invalid event streams.
var (
	errTruncated     = errors.New("entry: event stream ended without [DONE]")
	errEventTooLarge = errors.New("entry: event exceeds the size limit")
)

// readEvent reads one event, including the empty line that ends it. It returns errTruncated if the
// stream ends first and errEventTooLarge if the event exceeds maxEventLength.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventLength {
			return nil, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF {
			return nil, errTruncated
		}
		if err != nil {
			return nil, eris.Wrap(err, "entry: read event stream")
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) || len(bytes.TrimSpace(event)) == 0 {
			return event, nil
		}
	}
}

// eventData returns the first data field of an event, or nil if there is none.
func eventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataPrefix) {
			return bytes.TrimSpace(line[len(dataPrefix):])
		}
	}
	return nil
}

// isDone reports whether an event is the [DONE] event that ends a stream.
func isDone(event []byte) bool { return bytes.Equal(eventData(event), doneData) }

// carriesToken reports whether an event carries text of the completion.
func carriesToken(event []byte) bool {
	data := eventData(event)
	if data == nil {
		return false
	}
	var c openai.Completion
	if json.Unmarshal(data, &c) != nil {
		return false
	}
	for _, choice := range c.Choices {
		if choice.Text != "" || choice.Delta != nil && choice.Delta.Content != "" {
			return true
		}
	}
	return false
}
