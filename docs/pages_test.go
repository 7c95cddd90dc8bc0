package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// named finds what a page names as package.Name or package.Type.Name.
var named = regexp.MustCompile("`((?:dispatch|gateway|placer|residency|backend|retry|quarantine|lease|kv|entry|agent|planner|placement|route|fairqueue|claim|ledger|quota|apikey|overload|configsync|transfer|table|wire|platform)\\.[\\w.]+)`")

// platformFile is a file of the users' platform whose name looks like one of package wire.
const platformFile = "wire.json"

// TestPagesNameWhatIsThere checks that each function, type and constant that the pages name stands
// in the code.
func TestPagesNameWhatIsThere(t *testing.T) {
	tests := map[string]struct {
		// least is how many names the page has at least.
		least int
	}{
		"DECISIONS.md":          {least: 100},
		"ARCHITECTURE.md":       {least: 30},
		"PLATFORM-QUESTIONS.md": {least: 10},
	}
	declared := declarations(t, "..")
	for file, test := range tests {
		t.Run(file, func(t *testing.T) {
			page, err := os.ReadFile(file)
			assert.NilError(t, err)
			matches := named.FindAllStringSubmatch(string(page), -1)
			assert.Assert(t, len(matches) > test.least, "%d names found", len(matches))
			for _, m := range matches {
				if m[1] == platformFile {
					continue
				}
				if !declared[m[1]] {
					t.Errorf("%s names %s, which is not declared", file, m[1])
				}
			}
		})
	}
}

// quotedTest finds the tests that a page names.
var quotedTest = regexp.MustCompile("`((?:Test|Example|Fuzz)[A-Za-z_]+)`")

// TestPagesNameTestsThatAreThere checks that each test that a page names stands in the code.
func TestPagesNameTestsThatAreThere(t *testing.T) {
	tests := make(map[string]bool)
	walk(t, "..", "_test.go", func(path string) {
		for _, name := range declarationsOf(t, path) {
			tests[name] = true
		}
	})
	walk(t, ".", ".md", func(path string) {
		page, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, m := range quotedTest.FindAllStringSubmatch(string(page), -1) {
			if !tests[m[1]] {
				t.Errorf("%s names %s, which is not there", path, m[1])
			}
		}
	})
}

// declarations returns the names of all functions, methods, types and constants below a
// folder with their packages, tests left out.
func declarations(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	walk(t, root, ".go", func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		pkg := packageOf(t, path)
		for _, name := range declarationsOf(t, path) {
			names[pkg+"."+name] = true
		}
	})
	return names
}

// walk calls f with each file below a folder whose name ends as given.
func walk(t *testing.T, root, ending string, f func(path string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ending) {
			f(path)
		}
		return err
	})
	assert.NilError(t, err)
}

// packageOf returns the name of a file's package.
func packageOf(t *testing.T, path string) string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.PackageClauseOnly)
	assert.NilError(t, err)
	return f.Name.Name
}

// declarationsOf returns the names that a file declares.
func declarationsOf(t *testing.T, path string) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	assert.NilError(t, err)
	var names []string
	for _, d := range f.Decls {
		names = append(names, declaredBy(d)...)
	}
	return names
}

// declaredBy returns the names that a declaration declares.
func declaredBy(d ast.Decl) []string {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			return []string{d.Name.Name}
		}
		return []string{receiver(d.Recv.List[0].Type) + "." + d.Name.Name}
	case *ast.GenDecl:
		var names []string
		for _, s := range d.Specs {
			switch s := s.(type) {
			case *ast.TypeSpec:
				names = append(names, s.Name.Name)
			case *ast.ValueSpec:
				for _, n := range s.Names {
					names = append(names, n.Name)
				}
			}
		}
		return names
	}
	return nil
}

// receiver returns the name of a method's type.
func receiver(e ast.Expr) string {
	if star, ok := e.(*ast.StarExpr); ok {
		e = star.X
	}
	if generic, ok := e.(*ast.IndexExpr); ok {
		e = generic.X
	}
	if id, ok := e.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}
