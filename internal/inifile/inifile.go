// Package inifile reads INI files and reports every error with its file and line.
// It parses with gopkg.in/ini.v1 and adds line numbers and a list of findings.
package inifile

import (
	"os"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// File is a parsed INI file.
type File struct {
	Name     string
	sections []*Section
	findings *Findings
}

// Read parses the file at path. It adds errors to findings, also if the file
// cannot be read.
func Read(path string, findings *Findings) *File {
	text, err := os.ReadFile(path)
	if err != nil {
		findings.Add(Position{File: path}, "%v", errors.Cause(err))
		return &File{Name: path, findings: findings}
	}
	return Parse(path, text, findings)
}

// Parse parses text. Findings refer to the text as name.
func Parse(name string, text []byte, findings *Findings) *File {
	f := &File{Name: name, findings: findings}
	index := indexLines(name, string(text), findings)
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
		SkipUnrecognizableLines:    true, // indexLines has reported them
	}, text)
	if err != nil {
		findings.Add(Position{File: name, Line: lineOf(err, string(text))}, "%s", strings.TrimSpace(err.Error()))
		return f
	}
	counts := map[string]int{}
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection {
			f.reportKeysOutsideSections(section, index)
			continue
		}
		occurrence := counts[section.Name()]
		counts[section.Name()]++
		f.sections = append(f.sections, f.newSection(section, index.section(section.Name(), occurrence)))
	}
	f.reportDuplicates()
	return f
}

// Sections returns the sections in the order of the file, without those whose
// header repeats an earlier one.
func (f *File) Sections() []*Section {
	return f.sections
}

// Section returns the section with the given header. If there is none, it returns
// an empty section positioned at line 1.
func (f *File) Section(name string) *Section {
	for _, s := range f.sections {
		if s.header == name {
			return s
		}
	}
	return f.newSection(ini.Empty().Section(name), sectionLines{header: 1})
}

// ReportUnread adds a finding for every section whose header is not in known, and
// for every key of the other sections that was not read. It must be called after
// all keys have been read.
func (f *File) ReportUnread(known ...string) {
	for _, s := range f.sections {
		if !contains(known, s.header) {
			f.findings.Add(s.Position(), "unknown section [%s]", s.header)
			continue
		}
		s.ReportUnread()
	}
}

func (f *File) newSection(section *ini.Section, lines sectionLines) *Section {
	kind, name, _ := strings.Cut(section.Name(), " ")
	return &Section{
		Kind:     kind,
		Name:     strings.TrimSpace(name),
		header:   section.Name(),
		file:     f.Name,
		section:  section,
		lines:    lines,
		read:     map[string]bool{},
		findings: f.findings,
	}
}

func (f *File) reportKeysOutsideSections(section *ini.Section, index lineIndex) {
	for _, key := range section.Keys() {
		position := Position{File: f.Name, Line: index.section("", 0).line(key.Name())}
		f.findings.Add(position, "key %q stands before the first section", key.Name())
	}
}

func (f *File) reportDuplicates() {
	firstByHeader := map[string]*Section{}
	unique := f.sections[:0]
	for _, s := range f.sections {
		if earlier, duplicate := firstByHeader[s.header]; duplicate {
			f.findings.Add(s.Position(), "section [%s] stands already on line %d", s.header, earlier.Position().Line)
			continue
		}
		firstByHeader[s.header] = s
		unique = append(unique, s)
	}
	f.sections = unique
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}
