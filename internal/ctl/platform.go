package ctl

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/poison"
)

// storeCallTimeout bounds a command on the platform's store.
const storeCallTimeout = 10 * time.Second

// platformOptions holds the flags of the commands for the platform's machines.
type platformOptions struct {
	*options
	store     string
	openStore func(address string) kv.TransactionalStore
}

// platform returns the commands for processes on the platform's machines. These have no
// operators' address; the commands use what the processes keep in the platform's store and what
// they report at their metrics addresses.
func (o *options) platform(openStore func(address string) kv.TransactionalStore) *cobra.Command {
	p := &platformOptions{options: o, openStore: openStore}
	root := &cobra.Command{Use: "platform", Short: "commands for processes on the platform's machines"}
	root.PersistentFlags().StringVar(&p.store, "store", "", "ip:port of the platform's store")
	group := &cobra.Command{Use: "quarantine", Short: "requests that are refused because endpoints ended under them"}
	group.AddCommand(p.listQuarantine(), p.releaseQuarantine())
	root.AddCommand(group)
	root.AddCommand(o.loadCommands()...)
	return root
}

func (p *platformOptions) listQuarantine() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "list the requests under which endpoints ended, with these endpoints",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return p.withStore(cmd, func(ctx context.Context, store kv.TransactionalStore) error {
				suspects, err := quarantine.List(ctx, store)
				if err != nil {
					return err
				}
				return p.printSuspects(cmd, suspects)
			})
		},
	}
}

func (p *platformOptions) releaseQuarantine() *cobra.Command {
	return &cobra.Command{
		Use:   "release FINGERPRINT",
		Short: "withdraw all reports about a request, so that it may run again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			fingerprint, err := poison.ParseFingerprint(args[0])
			if err != nil {
				return err
			}
			return p.withStore(cmd, func(ctx context.Context, store kv.TransactionalStore) error {
				removed, err := quarantine.Release(ctx, store, fingerprint)
				if err == nil && removed == 0 {
					return errors.Errorf("there is no report about %s", args[0])
				}
				return err
			})
		},
	}
}

// withStore calls do with the store that the flags name.
func (p *platformOptions) withStore(cmd *cobra.Command, do func(context.Context, kv.TransactionalStore) error) error {
	if p.store == "" {
		return errors.New("--store is missing")
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), storeCallTimeout)
	defer cancel()
	return do(ctx, p.openStore(p.store))
}

// suspectJSON is a request under which endpoints ended, as JSON.
type suspectJSON struct {
	Fingerprint string
	Quarantined bool
	Reports     []quarantine.Report // the oldest first
}

func (p *platformOptions) printSuspects(cmd *cobra.Command, suspects []quarantine.Suspect) error {
	out := cmd.OutOrStdout()
	switch {
	case p.json:
		list := make([]suspectJSON, len(suspects))
		for i := range suspects {
			list[i] = suspectJSON{Fingerprint: poison.FormatFingerprint(suspects[i].Fingerprint), Quarantined: suspects[i].Quarantined(), Reports: suspects[i].Reports}
		}
		return errors.Wrap(json.NewEncoder(out).Encode(list), "print")
	case len(suspects) == 0:
		return nil
	default:
		return printTable(out, suspectTable(suspects))
	}
}

func suspectTable(suspects []quarantine.Suspect) table {
	t := table{header: []string{"fingerprint", "quarantined", "request", "endpoints", "last", "reported by"}}
	for i := range suspects {
		s := &suspects[i]
		var endpoints, reporters []string
		for _, r := range s.Reports {
			endpoints = append(endpoints, r.Endpoint)
			reporters = append(reporters, r.Reporter)
		}
		newest := s.Reports[len(s.Reports)-1]
		quarantined := "no"
		if s.Quarantined() {
			quarantined = "yes"
		}
		t.rows = append(t.rows, []string{
			poison.FormatFingerprint(s.Fingerprint), quarantined, newest.Method + " " + newest.Host + newest.Path, strings.Join(endpoints, " "),
			time.UnixMilli(newest.UnixMilli).UTC().Format(time.RFC3339), strings.Join(reporters, " "),
		})
	}
	return t
}
