// Command names checks the Go files below the current directory for naming and import rules. Names of
// the users' platform occur only in platform/, platform/ imports only the packages in allowedImports,
// and words that were replaced by established terms are not used again.
package main

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// adapter is the folder of the platform's adapter, in which the platform's names are allowed.
const adapter = "platform"

// platformNames matches names that only the platform uses.
var platformNames = regexp.MustCompile(`/-/[a-z]|Server-Seal|Server-Limit|Expect-Instance|Not-Run|Deadline-Ms|Token-Count|Store-Era|ApiKeys|RatePerS|PlainTokens|Prefix-Hash|` +
	`Request-Priority|Pin-Ms|Kv-Backup|Kv-From|Kv-Fetch|Expect-Version|KvCapacity|WeightsMb|op/config|AtHand|RequireFence|SloMs|GapTargetMs|ROCKCLEAT_CONFIG`)

// A withdrawnWord is a word that the code must not use, with the term that replaces it.
type withdrawnWord struct {
	pattern     *regexp.Regexp
	replacement string
}

// withdrawn lists the words that docs/GLOSSARY.md replaces.
var withdrawn = []withdrawnWord{
	{regexp.MustCompile(`\bholders? of orders\b`), "leader"},
	{regexp.MustCompile(`\b(gives?|giver of|given) (the |its )?orders\b`), "issue orders"},
	{regexp.MustCompile(`\bstood still\b`), "paused"},
	{regexp.MustCompile(`\bat hand\b`), "cached"},
	{regexp.MustCompile(`\bgives? way\b`), "shed"},
	{regexp.MustCompile(`\bfor want of\b`), "without"},
	{regexp.MustCompile(`\b(is|are|was) told\b`), "reported, published"},
	{regexp.MustCompile(`not measured|\b[Cc]hosen with|docs/MEASUREMENTS\.md`), "the reason; figures go into the commit message or docs/CAPACITY.md"},
	{regexp.MustCompile(`\b[vV]ictims?\b`), "evictions (the log field victims stays)"},
	{regexp.MustCompile(`\bCustomer\b`), "Organisation (customer on the wire stays)"},
}

// adapterTests is the folder of helpers for the adapter's tests. The adapter's import rules apply to it.
const adapterTests = adapter + "/platformtest"

// allowedImports are the product's packages that platform/ may import: data types, interfaces and timeouts of
// calls, but no decision logic.
var allowedImports = []string{
	"rockcleat/apikey", "rockcleat/backend", "rockcleat/internal/transfer", "rockcleat/internal/wire", "rockcleat/kv", "rockcleat/table",
}

func main() {
	violations := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "target" || path == filepath.Join("tools", "names")) {
			return filepath.SkipDir
		}
		if !d.IsDir() && strings.HasSuffix(path, ".go") {
			violations += checkFile(path)
		}
		return nil
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

// checkFile prints the violations in a file and returns their number.
func checkFile(path string) int {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	violations := checkWithdrawn(path, data)
	switch {
	case filepath.Dir(path) == adapter, filepath.Dir(path) == filepath.FromSlash(adapterTests):
		return violations + checkImports(path)
	case strings.HasPrefix(path, adapter+string(filepath.Separator)):
		return violations
	}
	return violations + checkNames(path, data)
}

// checkNames prints the platform names in a file and returns their number.
func checkNames(path string, data []byte) int {
	violations := 0
	for i, line := range strings.Split(string(data), "\n") {
		if name := platformNames.FindString(line); name != "" {
			fmt.Printf("%s:%d: %q is a name of the platform\n", path, i+1, name)
			violations++
		}
	}
	return violations
}

// withdrawnField is the only name on the wire that contains a withdrawn word.
const withdrawnField = `"victims"`

// checkWithdrawn prints the withdrawn words in a file and returns their number.
func checkWithdrawn(path string, data []byte) int {
	violations := 0
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.ReplaceAll(line, withdrawnField, "")
		for _, w := range withdrawn {
			if word := w.pattern.FindString(line); word != "" {
				fmt.Printf("%s:%d: %q was withdrawn; instead: %s\n", path, i+1, word, w.replacement)
				violations++
			}
		}
	}
	return violations
}

func checkImports(path string) int {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	violations := 0
	for _, i := range f.Imports {
		name, err := strconv.Unquote(i.Path.Value)
		isProduct := strings.HasPrefix(name, "rockcleat/") && name != "rockcleat/"+adapter && name != "rockcleat/"+adapterTests
		if err != nil || isProduct && !slices.Contains(allowedImports, name) {
			fmt.Printf("%s: imports %s, which is none of %v\n", path, name, allowedImports)
			violations++
		}
	}
	return violations
}
