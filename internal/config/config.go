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

	"rockcleat/internal/transfer"
)

// ErrInvalid matches every Error, by errors.Is.
var ErrInvalid = errors.New("config: invalid settings")

// settingsFileMode is owner-only, because the settings contain the secret.
const settingsFileMode = 0o600

// maxFileSize is the maximum size of a settings file, in bytes.
const maxFileSize = 1 << 20

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

// An Error contains all problems of a settings file. It matches ErrInvalid.
type Error struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (e *Error) Is(target error) bool { return target == ErrInvalid }

// Settings is implemented by the settings of each process: Gateway, Entry or Agent.
type Settings interface {
	// setDefaults sets the values of the keys that a file may omit.
	setDefaults()
	// check adds a problem to c for each invalid value.
	check(c *checker)
}

// Write writes settings to a file in the form that Read accepts.
func Write(file string, s Settings) error {
	data, err := yaml.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "config: encode settings")
	}
	return eris.Wrap(os.WriteFile(file, data, settingsFileMode), "config: write settings")
}

// Read reads and checks a settings file.
func Read(file string, into Settings) error {
	f, err := os.Open(file)
	if err != nil {
		return eris.Wrap(err, "config: open settings")
	}
	defer f.Close()
	data, err := transfer.ReadAll(f, maxFileSize)
	if err != nil {
		return eris.Wrapf(err, "config: read settings file %s", file)
	}
	return Parse(file, data, into)
}

// SetDefaults sets the values of the keys that a settings file may omit.
func SetDefaults(s Settings) { s.setDefaults() }

// Parse decodes and checks settings; file is the name used in errors.
func Parse(file string, data []byte, into Settings) error {
	SetDefaults(into)
	c := &checker{file: file}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		c.addDecodeError(err)
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

// require adds a problem with a key, such as "planner.cell_size", unless ok.
func (c *checker) require(ok bool, key, reason string) {
	if ok {
		return
	}
	c.problems = append(c.problems, Problem{File: c.file, Line: c.line(key), Key: key, Reason: reason})
}

// line returns the line of a key, that of its nearest enclosing key if it is absent, or 1.
func (c *checker) line(key string) int {
	node, line := c.root, 1
	for _, part := range strings.Split(key, ".") {
		name, value := findKey(node, part)
		if name == nil {
			break
		}
		node, line = value, name.Line
	}
	return line
}

// findKey returns the key node and the value node of a name in a mapping, or nil.
func findKey(m *yaml.Node, name string) (key, value *yaml.Node) {
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

// Patterns of the YAML decoder's error messages.
var (
	unknownFieldPattern = regexp.MustCompile(`line (\d+): field (\S+) not found`)
	otherErrorPattern   = regexp.MustCompile(`line (\d+): (.*)`)
)

// addDecodeError adds the problems that a YAML decoder's error describes.
func (c *checker) addDecodeError(err error) {
	messages := []string{err.Error()}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	for _, m := range messages {
		c.problems = append(c.problems, c.parseMessage(m))
	}
}

// parseMessage parses one error message of the YAML decoder.
func (c *checker) parseMessage(message string) Problem {
	if m := unknownFieldPattern.FindStringSubmatch(message); m != nil {
		return Problem{File: c.file, Line: lineNumber(m[1]), Key: m[2], Reason: "unknown key"}
	}
	if m := otherErrorPattern.FindStringSubmatch(message); m != nil {
		return Problem{File: c.file, Line: lineNumber(m[1]), Key: "value", Reason: m[2]}
	}
	return Problem{File: c.file, Line: 1, Key: "file", Reason: message}
}

// lineNumber parses a string of digits. It returns 1, the line of problems without one, if the number
// does not fit into an int.
func lineNumber(digits string) int {
	n, err := strconv.Atoi(digits)
	if err != nil {
		return 1
	}
	return n
}

// A Duration is a time.Duration that is written with a unit, such as 1500ms or 30s.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler. It rejects nonzero numbers without a unit.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration with a unit, such as 1500ms or 30s", n.Line, n.Value)
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML implements yaml.Marshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
