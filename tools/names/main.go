// Command names checks the names in the code. No name of the users' platform stands outside
// platform/ and deploy/, and platform/ imports no package that decides. Words that were
// withdrawn for the field's terms do not come back.
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

// adapter is the folder that may know the platform's names.
const adapter = "platform"

// names finds names that only the platform uses.
var names = regexp.MustCompile(`/-/[a-z]|Server-Seal|Server-Limit|Expect-Instance|Not-Run|Deadline-Ms|Token-Count|Store-Era|ApiKeys|RatePerS|PlainTokens|Prefix-Hash|` +
	`Request-Priority|Pin-Ms|Kv-Backup|Kv-From|Kv-Fetch|Expect-Version|KvCapacity|WeightsMb|op/config|AtHand|RequireFence|SloMs|GapTargetMs|ROCKCLEAT_CONFIG`)

// A withdrawnWord is a word that the code no longer uses, and the term in its place.
type withdrawnWord struct {
	pattern *regexp.Regexp
	instead string
}

// withdrawn lists the words that docs/GLOSSARY.md replaced.
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

// adapterTests holds what the adapter's tests share; it may import no more than the adapter.
const adapterTests = adapter + "/platformtest"

// allowed are the product's packages that platform/ may import: records, interfaces and
// the bounds of calls, nothing that decides.
var allowed = []string{
	"rockcleat/apikey", "rockcleat/backend", "rockcleat/internal/transfer", "rockcleat/internal/wire", "rockcleat/kv", "rockcleat/table",
}

func main() {
	bad := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "target" || path == filepath.Join("tools", "names")) {
			return filepath.SkipDir
		}
		if !d.IsDir() && strings.HasSuffix(path, ".go") {
			bad += check(path)
		}
		return nil
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if bad > 0 {
		os.Exit(1)
	}
}

// check prints what is wrong in a file and returns how much.
func check(path string) int {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	bad := checkWithdrawn(path, data)
	switch {
	case filepath.Dir(path) == adapter, filepath.Dir(path) == filepath.FromSlash(adapterTests):
		return bad + checkImports(path)
	case strings.HasPrefix(path, adapter+string(filepath.Separator)):
		return bad
	}
	return bad + checkNames(path, data)
}

// checkNames prints the names of the platform in a file.
func checkNames(path string, data []byte) int {
	bad := 0
	for i, line := range strings.Split(string(data), "\n") {
		if name := names.FindString(line); name != "" {
			fmt.Printf("%s:%d: %q is a name of the platform\n", path, i+1, name)
			bad++
		}
	}
	return bad
}

// withdrawnField is the one name on the wire that a withdrawn word still stands in.
const withdrawnField = `"victims"`

// checkWithdrawn prints the withdrawn words in a file.
func checkWithdrawn(path string, data []byte) int {
	bad := 0
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.ReplaceAll(line, withdrawnField, "")
		for _, w := range withdrawn {
			if word := w.pattern.FindString(line); word != "" {
				fmt.Printf("%s:%d: %q was withdrawn; instead: %s\n", path, i+1, word, w.instead)
				bad++
			}
		}
	}
	return bad
}

func checkImports(path string) int {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	bad := 0
	for _, i := range f.Imports {
		name, err := strconv.Unquote(i.Path.Value)
		inner := strings.HasPrefix(name, "rockcleat/") && name != "rockcleat/"+adapter && name != "rockcleat/"+adapterTests
		if err != nil || inner && !slices.Contains(allowed, name) {
			fmt.Printf("%s: imports %s, which is none of %v\n", path, name, allowed)
			bad++
		}
	}
	return bad
}
