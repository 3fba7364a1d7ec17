package decl_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"siskinloom.example/siskinloom/internal/decl"
)

// FuzzParse guards against declarations that end the process, errors without a place in the file, and a
// declaration that differs from itself, which would be rolled out for ever.
func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("../../examples/*/*.ini")
	if err != nil || len(paths) == 0 {
		f.Fatalf("%d examples, error %v", len(paths), err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add("[deployment d]\n[service s]\nkind = model\nservers = 1e9\n[class c]\nservice = s\nhedge_at = NaN\nmatch = * *\n")
	f.Fuzz(func(t *testing.T, text string) {
		d, findings := decl.Parse([]decl.Source{{Name: "f.ini", Text: text}})
		for _, finding := range findings {
			placed := finding.Line > 0 || strings.Contains(finding.Message, "no [deployment] section")
			if finding.File != "f.ini" || finding.Message == "" || !placed || finding.Line > strings.Count(text, "\n")+1 {
				t.Errorf("finding %+v", finding)
			}
		}
		if len(findings) > 0 {
			return
		}
		if changes := decl.Diff(d, d); len(changes) > 0 {
			t.Errorf("changes %+v", changes)
		}
	})
}
