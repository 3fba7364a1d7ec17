// Package layers holds the directions in which packages may import each other, as
// docs/ARCHITECTURE.md draws them.
package layers_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLayers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Layers")
}

const (
	module = "siskinloom.example/siskinloom/"
	root   = "../.."
)

// imports returns what each package's files import of this module, tests left out.
func imports() map[string][]string {
	found := map[string][]string{}
	err := filepath.WalkDir(root, func(name string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && name != root {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(name))
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			quoted, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			if local, ours := strings.CutPrefix(quoted, module); ours {
				found[filepath.ToSlash(dir)] = append(found[filepath.ToSlash(dir)], local)
			}
		}
		return nil
	})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return found
}

func within(pkg string, folders ...string) bool {
	for _, f := range folders {
		if pkg == f || strings.HasPrefix(pkg, f+"/") {
			return true
		}
	}
	return false
}

var _ = Describe("the imports of packages", func() {
	all := map[string][]string{}

	BeforeEach(func() {
		all = imports()
		Expect(len(all)).To(BeNumerically(">", 40), "the walk found the packages")
	})

	// forbid fails for each import from one part of the tree into another.
	forbid := func(from func(string) bool, into func(string) bool) {
		for pkg, list := range all {
			for _, i := range list {
				ExpectWithOffset(1, from(pkg) && into(i)).To(BeFalse(), "%s imports %s", pkg, i)
			}
		}
	}

	It("lead from runtimes to decisions, never back", func() {
		types := []string{"internal/policy", "internal/wire", "internal/decl", "internal/deployment"}
		forbid(
			func(pkg string) bool { return within(pkg, "internal/policy") },
			func(i string) bool { return !within(i, types...) },
		)
	})

	It("keep the two ways of serving apart", func() {
		agents := []string{"internal/entry", "internal/agent", "internal/feedrun", "internal/dutyrun", "internal/peers", "internal/confstate", "internal/daemon"}
		forbid(
			func(pkg string) bool { return within(pkg, "internal/agentless") },
			func(i string) bool { return within(i, agents...) },
		)
		forbid(
			func(pkg string) bool { return within(pkg, agents...) },
			func(i string) bool { return within(i, "internal/agentless") },
		)
	})

	It("leave the platform's adapter to the programs", func() {
		forbid(
			func(pkg string) bool { return !within(pkg, "cmd", "platform") },
			func(i string) bool { return within(i, "platform") },
		)
	})

	It("leave stand-ins and measurements to tests and the lab", func() {
		forbid(
			func(pkg string) bool {
				return !within(pkg, "cmd", "internal/lab", "internal/standin", "platform/soak") && path.Base(pkg) != "claimtest"
			},
			func(i string) bool { return within(i, "internal/standin", "internal/lab") },
		)
	})
})
