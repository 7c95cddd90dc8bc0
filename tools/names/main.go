// Command names checks that the users' platform is spoken in one folder only: no
// name of it stands outside platform/ and deploy/, and platform/ imports no
// package that decides.
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
var names = regexp.MustCompile(`/-/[a-z]|Server-Seal|Expect-Instance|Not-Run|Deadline-Ms|Token-Count|Prefix-Hash|` +
	`Request-Priority|KvCapacity|WeightsMb|op/config|AtHand|RequireFence|SloMs|GapTargetMs|ROCKCLEAT_CONFIG`)

// allowed are the product's packages that platform/ may import: records and
// interfaces, nothing that decides.
var allowed = []string{"rockcleat/backend", "rockcleat/internal/wire", "rockcleat/kv", "rockcleat/table"}

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
	if filepath.Dir(path) == adapter {
		return checkImports(path)
	}
	if strings.HasPrefix(path, adapter+string(filepath.Separator)) {
		return 0
	}
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	bad := 0
	for i, line := range strings.Split(string(data), "\n") {
		if name := names.FindString(line); name != "" {
			fmt.Printf("%s:%d: %q is a name of the platform\n", path, i+1, name)
			bad++
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
		inner := strings.HasPrefix(name, "rockcleat/") && name != "rockcleat/platform"
		if err != nil || inner && !slices.Contains(allowed, name) {
			fmt.Printf("%s: imports %s, which is none of %v\n", path, name, allowed)
			bad++
		}
	}
	return bad
}
