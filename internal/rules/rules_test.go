package rules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/red"
)

const (
	module = "github.com/bambooproxy/bambooproxy/"
	root   = "../.."
)

// layers lists the packages from the lowest layer to the highest. A package may import only
// packages of lower layers. Every package must be listed.
func layers() [][]string {
	return [][]string{
		{"internal/seed", "internal/timing"},
		{"pkg/verd", "pkg/table", "internal/lease", "internal/certs", "internal/memnet", "internal/meter", "internal/mutate", "internal/red", "internal/store", "internal/strict", "internal/trail", "internal/rules"},
		{"internal/guard"},
		{"internal/site"},
		{"pkg/engine", "pkg/caller", "internal/member", "internal/auth", "internal/trace", "internal/wire", "internal/prompt"},
		{"internal/conf", "internal/policy", "internal/ledger", "internal/quorum", "internal/quota", "internal/httpx", "internal/plan", "internal/hop", "internal/place", "internal/poison", "internal/relay"},
		{"internal/reg"},
		{"internal/link"},
		{"internal/hub", "internal/gate"},
		{"platform", "internal/node"},
		{"internal/ctrl", "internal/sched", "internal/fake", "internal/trial"},
		{"internal/entry"},
		{"internal/admin", "internal/load"},
		{"internal/inst"},
		{"internal/demo", "internal/slope", "internal/soak", "internal/crowd"},
		{"internal/cmds"},
		{"cmd/bamboo"},
	}
}

// sourceFile is a parsed Go file that is not a test. Its dir and path are relative to the
// root of the repository.
type sourceFile struct {
	dir, path string
	file      *ast.File
}

func sourceFiles(t *testing.T) []sourceFile {
	t.Helper()
	var out []sourceFile
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == ".git" || d.Name() == "bin" || d.Name() == "tools" || d.Name() == "testdata"):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		out = append(out, sourceFile{filepath.ToSlash(filepath.Dir(rel)), rel, f})
		return err
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(out) > 50, quicktest.IsTrue)
	return out
}

// layerOf returns the index of the layer of a package, or -1 if it is not listed.
func layerOf(dir string) int {
	return slices.IndexFunc(layers(), func(l []string) bool { return slices.Contains(l, dir) })
}

// TestPackagesImportOnlyLowerLayers checks that every package has a layer and imports only
// packages of lower layers.
func TestPackagesImportOnlyLowerLayers(t *testing.T) {
	for _, s := range sourceFiles(t) {
		own := layerOf(s.dir)
		if own < 0 {
			t.Errorf("package %s is missing from layers", s.dir)
			continue
		}
		for _, imp := range s.file.Imports {
			path, err := strconv.Unquote(imp.Path.Value)
			quicktest.Assert(t, err, quicktest.IsNil)
			dir, ok := strings.CutPrefix(path, module)
			if ok && layerOf(dir) >= own {
				t.Errorf("%s imports %s, which is not in a lower layer", s.path, dir)
			}
		}
	}
}

// TestNoPackageState checks that packages have no mutable variables. It allows errors,
// embedded files, arrays and interface assertions.
func TestNoPackageState(t *testing.T) {
	for _, s := range sourceFiles(t) {
		for _, d := range s.file.Decls {
			g, ok := d.(*ast.GenDecl)
			if !ok || g.Tok != token.VAR {
				continue
			}
			for _, spec := range g.Specs {
				v := spec.(*ast.ValueSpec)
				for i, name := range v.Names {
					red.Check(t, s.path+":"+name.Name, isImmutable(v, i, name.Name), "mutable package variable")
				}
			}
		}
	}
}

// isImmutable reports whether the variable v.Names[i] is of a kind that TestNoPackageState
// allows.
func isImmutable(v *ast.ValueSpec, i int, name string) bool {
	if name == "_" || strings.HasPrefix(strings.ToLower(name), "err") {
		return true
	}
	if sel, ok := v.Type.(*ast.SelectorExpr); ok && sel.Sel.Name == "FS" {
		return true
	}
	if i >= len(v.Values) {
		return false
	}
	lit, ok := v.Values[i].(*ast.CompositeLit)
	if !ok {
		return false
	}
	array, ok := lit.Type.(*ast.ArrayType)
	return ok && array.Len != nil
}
