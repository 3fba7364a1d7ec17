// Package demo implements the steps of the demo, which runs both deployments of
// examples/ as real processes on loopback, injects faults under load, and checks the
// invariants. The steps write the files of the processes, generate the load, draw
// schedules of faults and evaluate the results.
package demo

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/api/platformpb"
)

const (
	loopback               = "127.0.0.1"
	entriesPerSite         = 3
	storeBytesPerSecond    = 64 << 20 // bandwidth of the weight store
	keyValueCallsPerSecond = 2000     // rate limit of the key-value service
	fleetDomains           = 8
	dirMode                = 0o755
	fileMode               = 0o644
)

// Layout lists the processes of the demo. It is written to layout.json.
type Layout struct {
	Sites []Site `json:"sites"`
}

// Site lists the processes and services of one deployment.
type Site struct {
	Deployment string     `json:"deployment"`
	Platform   string     `json:"platform"` // address of the platform, gRPC
	Control    string     `json:"control"`  // address of the platform's fault switches, HTTP
	Entries    []Instance `json:"entries"`
	Agents     []Instance `json:"agents"`
	Model      string     `json:"model"` // name of the model service
	Plain      string     `json:"plain"` // name of the plain service
	Feed       string     `json:"feed"`
}

// Instance is one process of siskinloomd and, for an agent, its endpoint.
type Instance struct {
	ID       string `json:"id"`
	Domain   string `json:"domain"`
	Service  string `json:"service,omitempty"`
	Inner    string `json:"inner"`
	HTTP     string `json:"http,omitempty"`
	GRPC     string `json:"grpc,omitempty"`
	Metrics  string `json:"metrics"`
	Endpoint string `json:"endpoint,omitempty"`
	Effects  string `json:"effects,omitempty"` // file with a line per operation that a plain service's endpoint ran
}

// siteSpec describes the processes and services of a site.
type siteSpec struct {
	deployment, model, weightModel, plainService, feed, trainerKey string
	domains                                                        []string
	engines, plainEndpoints, scorerEndpoints                       int
	entries                                                        int           // entriesPerSite if 0
	sharedEngine                                                   bool          // all agents share one engine process
	plainLatency                                                   time.Duration // of a request to the plain service
	fencing                                                        bool
	stalenessBound                                                 int
}

// exampleSpecs describes the two deployments of examples/, with the sizes given there.
var exampleSpecs = []siteSpec{
	{
		deployment: "ledgerwise", model: "tone-model", weightModel: "tone", plainService: "reminder-ledger",
		feed: "polite-drafts", trainerKey: "demo-trainer-polite-drafts",
		domains: []string{"vvn-hall-a", "vvn-hall-b", "karamsad-hall"},
		engines: 10, plainEndpoints: 6, scorerEndpoints: 2, plainLatency: 5 * time.Millisecond, fencing: true, stalenessBound: 2,
	},
	{
		deployment: "batumi", model: "examiner-model", weightModel: "examiner", plainService: "renewal-filing",
		feed: "exam-marking", trainerKey: "demo-trainer-exam-marking",
		domains: []string{"batumi-port", "kobuleti", "poti-annex"},
		engines: 10, plainEndpoints: 3, scorerEndpoints: 2, plainLatency: 5 * time.Millisecond, stalenessBound: 4,
	},
}

// builder assigns ports and collects the commands to start.
type builder struct {
	dir      string
	port     int
	commands []string
}

// WriteLayout writes the files of the demo into dir and assigns free ports above base.
// The files are layout.json, a settings file per instance, an instance list per site, and
// the files processes and trainers, which have a line per command: its name, a tab and
// its words.
func WriteLayout(dir string, base int) (Layout, error) {
	return writeSites(dir, base, exampleSpecs)
}

// WriteFleetLayout writes the files of one deployment for measurements of control work.
// Its entries and agents are spread over eight failure domains, and the agents share one
// engine process.
func WriteFleetLayout(dir string, base, entries, agents int) (Layout, error) {
	spec := exampleSpecs[0]
	spec.domains = nil
	for i := range fleetDomains {
		spec.domains = append(spec.domains, fmt.Sprintf("domain-%d", i+1))
	}
	spec.entries, spec.engines, spec.plainEndpoints, spec.scorerEndpoints, spec.sharedEngine = entries, agents, 0, 0, true
	return writeSites(dir, base, []siteSpec{spec})
}

func writeSites(dir string, base int, specs []siteSpec) (Layout, error) {
	b := &builder{dir: dir, port: base}
	var layout Layout
	var trainers []string
	for _, spec := range specs {
		site, err := b.addSite(spec)
		if err != nil {
			return layout, err
		}
		layout.Sites = append(layout.Sites, site)
		trainers = append(trainers, trainerCommand(spec, site))
	}
	text, err := json.MarshalIndent(layout, "", " ")
	if err != nil {
		return layout, errors.Wrap(err, "demo")
	}
	return layout, b.writeFiles(map[string]string{
		"layout.json": string(text),
		"processes":   strings.Join(b.commands, "\n") + "\n",
		"trainers":    strings.Join(trainers, "\n") + "\n",
	})
}

// ReadLayout reads layout.json.
func ReadLayout(path string) (Layout, error) {
	var layout Layout
	text, err := os.ReadFile(path)
	if err != nil {
		return layout, errors.Wrap(err, "demo")
	}
	return layout, errors.Wrap(json.Unmarshal(text, &layout), "demo: "+path)
}

func (b *builder) writeFiles(files map[string]string) error {
	for name, text := range files {
		path := filepath.Join(b.dir, name)
		if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
			return errors.Wrap(err, "demo")
		}
		if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
			return errors.Wrap(err, "demo")
		}
	}
	return nil
}

// freeAddress returns the next loopback address that is not in use.
func (b *builder) freeAddress() string {
	for {
		b.port++
		address := fmt.Sprintf("%s:%d", loopback, b.port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
}

func (b *builder) addCommand(name, format string, args ...any) {
	b.commands = append(b.commands, name+"\t"+fmt.Sprintf(format, args...))
}

// addSite writes the files of a site, adds its commands and returns it.
func (b *builder) addSite(spec siteSpec) (Site, error) {
	site := Site{Deployment: spec.deployment, Platform: b.freeAddress(), Control: b.freeAddress(), Model: spec.model, Plain: spec.plainService, Feed: spec.feed}
	b.addCommand(spec.deployment+"-platform", "siskinstand platform --address %s --control %s --calls %d --store-rate %d --list-lag 500ms",
		site.Platform, site.Control, keyValueCallsPerSecond, storeBytesPerSecond)
	for i := range spec.engines {
		a := b.newAgent(spec, spec.model, i)
		if spec.sharedEngine && i > 0 {
			a.Endpoint = site.Agents[0].Endpoint
		} else {
			b.addCommand(a.ID+"-endpoint", "siskinstand engine --address %s --model %s --fencing=%t --slots 8 --step 4ms --step-per-request 200us --load-version 100ms", a.Endpoint, spec.weightModel, spec.fencing)
		}
		site.Agents = append(site.Agents, a)
	}
	for i := range spec.plainEndpoints {
		a := b.newAgent(spec, spec.plainService, i)
		a.Effects = filepath.Join(b.dir, a.ID+".effects")
		b.addCommand(a.ID+"-endpoint", "siskinstand service --address %s --name %s --latency %s --effects %s", a.Endpoint, spec.plainService, spec.plainLatency, a.Effects)
		site.Agents = append(site.Agents, a)
	}
	for i := range spec.scorerEndpoints {
		a := b.newAgent(spec, "scorer", i)
		b.addCommand(a.ID+"-endpoint", "siskinstand service --address %s --name scorer --scorer --latency 2ms", a.Endpoint)
		site.Agents = append(site.Agents, a)
	}
	entries := spec.entries
	if entries == 0 {
		entries = entriesPerSite
	}
	for i := range entries {
		id := fmt.Sprintf("%s-entry-%d", spec.deployment, i+1)
		site.Entries = append(site.Entries, Instance{
			ID: id, Domain: spec.domains[i%len(spec.domains)],
			Inner: b.freeAddress(), HTTP: b.freeAddress(), GRPC: b.freeAddress(), Metrics: b.freeAddress(),
		})
	}
	return site, b.writeSiteFiles(spec, site)
}

func (b *builder) newAgent(spec siteSpec, service string, i int) Instance {
	return Instance{
		ID: fmt.Sprintf("%s-%s-%d", spec.deployment, service, i+1), Domain: spec.domains[i%len(spec.domains)], Service: service,
		Inner: b.freeAddress(), Metrics: b.freeAddress(), Endpoint: b.freeAddress(),
	}
}

func (b *builder) writeSiteFiles(spec siteSpec, site Site) error {
	files := map[string]string{}
	var list []*platformpb.Instance
	for _, all := range [][]Instance{site.Agents, site.Entries} {
		for _, instance := range all {
			name := filepath.Join("settings", instance.ID+".ini")
			files[name] = settingsText(spec, site, instance)
			b.addCommand(instance.ID, "siskinloomd run %s", filepath.Join(b.dir, name))
			list = append(list, &platformpb.Instance{
				Id: instance.ID, Address: instance.Inner, FailureDomain: instance.Domain,
				Role: roleOf(instance), Service: instance.Service, Region: spec.deployment,
			})
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	files["instances-"+spec.deployment+".json"] = string(text)
	return b.writeFiles(files)
}

func roleOf(i Instance) string {
	if i.Service == "" {
		return "entry"
	}
	return "agent"
}

func settingsText(spec siteSpec, site Site, i Instance) string {
	text := fmt.Sprintf("[process]\nrole = %s\nid = %s\ndeployment = %s\nfailure_domain = %s\nregion = %s\nlog_level = info\nstop_timeout = 15s\n\n",
		roleOf(i), i.ID, spec.deployment, i.Domain, spec.deployment)
	text += fmt.Sprintf("[listen]\ninner = %s\nmetrics = %s\n", i.Inner, i.Metrics)
	if i.Service == "" {
		text += fmt.Sprintf("http = %s\ngrpc = %s\n", i.HTTP, i.GRPC)
	} else {
		text += fmt.Sprintf("\n[endpoint]\nservice = %s\naddress = %s\n", i.Service, i.Endpoint)
	}
	text += fmt.Sprintf("\n[platform]\naddress = %s\ncalls_per_second = 100\n", site.Platform)
	if spec.sharedEngine {
		return text // the fleet for measurements uses the default heartbeat
	}
	return text + "\n[membership]\nheartbeat = 250ms\n"
}

func trainerCommand(spec siteSpec, site Site) string {
	var entries []string
	for _, e := range site.Entries {
		entries = append(entries, e.GRPC)
	}
	return fmt.Sprintf("%s-trainer\tsiskinstand trainer --entries %s --key %s --deployment %s --feed %s --model %s --bound %d --train-time 1s --announce-every 1",
		spec.deployment, strings.Join(entries, ","), spec.trainerKey, spec.deployment, spec.feed, spec.weightModel, spec.stalenessBound)
}
