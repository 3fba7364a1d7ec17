package mechanism

import "siskinloom.example/siskinloom/internal/inifile"

const (
	section = "mechanisms"
	keyOut  = "without"
)

// Load reads the settings file at path, which names the mechanisms to be taken
// out:
//
//	[mechanisms]
//	without = hedges, move-slow
//
// The error is an *inifile.Error with the place of every finding.
func Load(path string) ([]Mechanism, error) {
	var findings inifile.Findings
	out := decode(inifile.Read(path, &findings))
	return out, findings.Err()
}

func decode(file *inifile.File) []Mechanism {
	s := file.Section(section)
	var out []Mechanism
	for _, name := range s.List(keyOut) {
		m, err := Parse(name)
		if err != nil {
			s.Fault(keyOut, "%v", err)
			continue
		}
		out = append(out, m)
	}
	file.ReportUnread(section)
	return out
}
