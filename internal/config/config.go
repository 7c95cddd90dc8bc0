package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// ErrInvalid is the kind of every error in a settings file.
var ErrInvalid = errors.New("config: invalid settings")

// settingsMode keeps the secret from other users.
const settingsMode = 0o600

// maxFile bounds a settings file, in bytes.
const maxFile = 1 << 20

// A Problem is one error in a settings file.
type Problem struct {
	File   string
	Line   int
	Key    string
	Reason string
}

// String returns the problem in the form file:line: key: reason.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Reason)
}

// An Error carries all problems of a file; it is an ErrInvalid.
type Error struct {
	Problems []Problem
}

// Error returns the problems, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes an Error an ErrInvalid.
func (e *Error) Is(target error) bool { return target == ErrInvalid }

// Settings are the settings of one role.
type Settings interface {
	// setDefaults fills in what a file may leave out.
	setDefaults()
	// check reports what is wrong to the checker.
	check(c *checker)
}

// Write writes settings to a file that Read can read.
func Write(file string, s Settings) error {
	data, err := yaml.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "config: encode settings")
	}
	return eris.Wrap(os.WriteFile(file, data, settingsMode), "config: write settings")
}

// Read reads and checks a settings file.
func Read(file string, into Settings) error {
	f, err := os.Open(file)
	if err != nil {
		return eris.Wrap(err, "config: open settings")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFile))
	if err != nil {
		return eris.Wrap(err, "config: read settings")
	}
	return Parse(file, data, into)
}

// Defaults sets what a settings file may leave out.
func Defaults(s Settings) { s.setDefaults() }

// Parse checks settings that have been read from the named file.
func Parse(file string, data []byte, into Settings) error {
	Defaults(into)
	c := &checker{file: file}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		c.decodeError(err)
		return &Error{Problems: c.problems}
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err == nil && len(doc.Content) > 0 {
		c.root = doc.Content[0]
	}
	into.check(c)
	if len(c.problems) > 0 {
		return &Error{Problems: c.problems}
	}
	return nil
}

// A checker collects problems and finds the lines of keys.
type checker struct {
	file     string
	root     *yaml.Node
	problems []Problem
}

// require records a problem with the key, such as "planner.cell_size", unless ok.
func (c *checker) require(ok bool, key, reason string) {
	if ok {
		return
	}
	c.problems = append(c.problems, Problem{File: c.file, Line: c.line(key), Key: key, Reason: reason})
}

// line returns the line of a key, or of the nearest part of it that is there.
func (c *checker) line(key string) int {
	node, line := c.root, 1
	for _, part := range strings.Split(key, ".") {
		name, value := find(node, part)
		if name == nil {
			break
		}
		node, line = value, name.Line
	}
	return line
}

// find returns the key of a name in a mapping, and its value.
func find(m *yaml.Node, name string) (key, value *yaml.Node) {
	if m == nil || m.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(m.Content); i += 2 {
		if m.Content[i].Value == name {
			return m.Content[i], m.Content[i+1]
		}
	}
	return nil, nil
}

// Patterns of the decoder's messages.
var (
	unknownField = regexp.MustCompile(`line (\d+): field (\S+) not found`)
	otherError   = regexp.MustCompile(`line (\d+): (.*)`)
)

// decodeError turns the decoder's messages into problems.
func (c *checker) decodeError(err error) {
	messages := []string{err.Error()}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	for _, m := range messages {
		c.problems = append(c.problems, c.problemOf(m))
	}
}

// problemOf turns one message of the decoder into a problem.
func (c *checker) problemOf(message string) Problem {
	if m := unknownField.FindStringSubmatch(message); m != nil {
		return Problem{File: c.file, Line: lineNumber(m[1]), Key: m[2], Reason: "unknown key"}
	}
	if m := otherError.FindStringSubmatch(message); m != nil {
		return Problem{File: c.file, Line: lineNumber(m[1]), Key: "value", Reason: m[2]}
	}
	return Problem{File: c.file, Line: 1, Key: "file", Reason: message}
}

// lineNumber reads a line number that matched as digits; one too large for an int counts as 1,
// the line of errors that have none.
func lineNumber(digits string) int {
	n, err := strconv.Atoi(digits)
	if err != nil {
		return 1
	}
	return n
}

// A Duration is a time.Duration written like 1500ms or 30s.
type Duration time.Duration

// UnmarshalYAML reads a duration and refuses numbers without a unit.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration with a unit, such as 1500ms or 30s", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML writes a duration as UnmarshalYAML reads it.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }
