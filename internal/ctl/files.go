package ctl

import (
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/decl"
)

// readFiles reads declaration files. For a folder it reads all its *.ini files.
func readFiles(paths []string) ([]*operatorpb.File, error) {
	var files []*operatorpb.File
	for _, path := range paths {
		names, err := listFiles(path)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				return nil, err
			}
			files = append(files, &operatorpb.File{Name: name, Text: string(text)})
		}
	}
	return files, nil
}

// listFiles returns the path itself or, for a folder, its *.ini files.
func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil || !info.IsDir() {
		return []string{path}, err
	}
	names, err := filepath.Glob(filepath.Join(path, "*.ini"))
	sort.Strings(names)
	if err == nil && len(names) == 0 {
		err = errors.Errorf("%s holds no *.ini files", path)
	}
	return names, err
}

// checkFiles checks declarations locally and returns the findings.
func checkFiles(files []*operatorpb.File) []*operatorpb.Finding {
	var sources []decl.Source
	for _, f := range files {
		sources = append(sources, decl.Source{Name: f.Name, Text: f.Text})
	}
	_, found := decl.Parse(sources)
	var findings []*operatorpb.Finding
	for _, f := range found {
		findings = append(findings, &operatorpb.Finding{File: f.File, Line: int32(f.Line), Message: f.Message})
	}
	return findings
}
