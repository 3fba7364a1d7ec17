// Package layers_test checks that packages import each other only in the directions
// that docs/ARCHITECTURE.md shows.
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

// imports returns the packages of this module that each package imports, without the
// imports of its tests.
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
			importPath, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			if imported, local := strings.CutPrefix(importPath, module); local {
				found[filepath.ToSlash(dir)] = append(found[filepath.ToSlash(dir)], imported)
			}
		}
		return nil
	})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return found
}

// within returns whether a package is one of the folders or below one.
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
		Expect(len(all)).To(BeNumerically(">", 40), "packages found")
	})

	// forbid fails on an import of a package that importee selects by a package that
	// importer selects.
	forbid := func(importer func(string) bool, importee func(string) bool) {
		for pkg, list := range all {
			for _, i := range list {
				ExpectWithOffset(1, importer(pkg) && importee(i)).To(BeFalse(), "%s imports %s", pkg, i)
			}
		}
	}

	It("lead from runtimes to policy packages, never back", func() {
		allowed := []string{"internal/policy", "internal/wire", "internal/decl", "internal/deployment"}
		forbid(
			func(pkg string) bool { return within(pkg, "internal/policy") },
			func(i string) bool { return !within(i, allowed...) },
		)
	})

	It("keep the deployment with agents and the agentless one apart", func() {
		withAgents := []string{"internal/entry", "internal/agent", "internal/feedrun", "internal/dutyrun", "internal/peers", "internal/confstate", "internal/daemon"}
		forbid(
			func(pkg string) bool { return within(pkg, "internal/agentless") },
			func(i string) bool { return within(i, withAgents...) },
		)
		forbid(
			func(pkg string) bool { return within(pkg, withAgents...) },
			func(i string) bool { return within(i, "internal/agentless") },
		)
	})

	// siskinctl reads the report of processes; it must not need their runtimes for that.
	It("keep the report of a process's load free of all other packages", func() {
		forbid(
			func(pkg string) bool { return within(pkg, "internal/agentless/loadreport") },
			func(string) bool { return true },
		)
	})

	It("let only programs import the platform's adapter", func() {
		forbid(
			func(pkg string) bool { return !within(pkg, "cmd", "platform") },
			func(i string) bool { return within(i, "platform") },
		)
	})

	It("let only tests and the lab import stand-ins and measurements", func() {
		forbid(
			func(pkg string) bool {
				return !within(pkg, "cmd", "internal/lab", "internal/standin", "platform/soak", "platform/storeserver") && path.Base(pkg) != "claimtest"
			},
			func(i string) bool { return within(i, "internal/standin", "internal/lab") },
		)
	})
})
