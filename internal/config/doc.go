// Package config reads the processes' settings from YAML files and validates them. An unknown key, a
// duration without a unit or a value out of range is an error that names the file, the line and the key.
//
// The package owns the names, defaults and bounds of the settings. Gateway, Entry and Agent are the
// settings of the three processes. Durations have a unit in the file, such as 1500ms. Parse reports all
// invalid values of a file in one Error, which matches ErrInvalid; values that cannot be decoded are
// reported first, without those. Settings are read once and do not change while a process runs.
package config
