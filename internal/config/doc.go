// Package config reads the processes' settings from YAML files and checks them strictly: an unknown
// key, a wrong unit or a value out of range is an error that names the file, the line and the key.
//
// It owns the names of the settings, their defaults and their bounds: Gateway, Entry and Agent are
// the settings of the three processes. Durations carry their unit in the file, such as 1500ms. All
// problems of a file come in one Error, which is an ErrInvalid; nothing is read twice and nothing
// is changed by itself.
package config
