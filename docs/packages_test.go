package docs_test

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// quotedPackage finds the packages that a row of a table names.
var quotedPackage = regexp.MustCompile("`((?:internal/)?[a-z]+)`")

// TestArchitectureListsPackages compares the packages of each program in ARCHITECTURE.md with those
// that it imports.
func TestArchitectureListsPackages(t *testing.T) {
	page, err := os.ReadFile("ARCHITECTURE.md")
	assert.NilError(t, err)
	shared := packagesOfRow(t, string(page), "| program | packages beside")
	daemons := append(packagesOfRow(t, string(page), "| `rockcleat-entry`, `rockcleat-agent` | `fairqueue`"), shared...)
	tests := map[string][]string{
		"rockcleat":         append(packagesOfRow(t, string(page), "| `rockcleat` | `internal/cli`"), shared...),
		"rockcleat-entry":   daemons,
		"rockcleat-agent":   daemons,
		"rockcleat-gateway": append(packagesOfRow(t, string(page), "| `rockcleat-gateway` | the same and"), daemons...),
	}
	for program, listed := range tests {
		t.Run(program, func(t *testing.T) {
			slices.Sort(listed)
			assert.DeepEqual(t, slices.Compact(listed), importedBy(t, program))
		})
	}
}

// packagesOfRow returns the packages that a row names in its second column.
func packagesOfRow(t *testing.T, page, start string) []string {
	t.Helper()
	_, rest, found := strings.Cut(page, start)
	assert.Assert(t, found, "no row begins with %q", start)
	row, _, _ := strings.Cut(start+rest, "\n")
	column := strings.Split(row, " | ")[1]
	var list []string
	for _, m := range quotedPackage.FindAllStringSubmatch(column, -1) {
		list = append(list, m[1])
	}
	return list
}

// importedBy returns the packages of this module that a program consists of, its own left out.
func importedBy(t *testing.T, program string) []string {
	t.Helper()
	out, err := exec.Command("go", "list", "-deps", "../cmd/"+program).Output()
	assert.NilError(t, err)
	var list []string
	for _, path := range strings.Fields(string(out)) {
		name, own := strings.CutPrefix(path, "rockcleat/")
		if own && !strings.HasPrefix(name, "cmd/") {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}
