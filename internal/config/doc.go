// Package config reads the processes' settings from YAML files and checks them
// strictly: an unknown key, a wrong unit or a value out of range is an error
// that names the file, the line and the key.
package config
