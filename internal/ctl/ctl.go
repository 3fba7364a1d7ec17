// Package ctl implements siskinctl, the operators' command-line tool.
package ctl

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/internal/kv"
)

// Exit codes of siskinctl.
const (
	ExitOK         = 0
	ExitError      = 1 // wrong usage, no entry answered, or a process has no usable report
	ExitDrift      = 2 // plan: the declarations differ from what is in force
	ExitFindings   = 3 // the declarations have faults
	ExitRefused    = 4 // apply: the configuration has changed, or the change was not accepted
	ExitUnknown    = 5 // apply: it is not known whether the change was accepted
	ExitNotAllowed = 6 // no operator has the key
)

const exitCodes = `Exit codes:
  0  done; plan: nothing to change
  1  wrong usage, no entry answered, or a process has no usable report
  2  plan: the declarations differ from what is in force
  3  the declarations have faults
  4  refused: the configuration has changed, or the change was not accepted
  5  it is not known whether the change was accepted; repeat it with its change id
  6  no operator has the key`

// exitError is an error with an exit code. Its text may be empty.
type exitError struct {
	code int
	text string
}

// Error returns the text, which is empty if the output is sufficient.
func (e *exitError) Error() string { return e.text }

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.code
	case status.Code(errors.Cause(err)) == codes.Unauthenticated:
		return ExitNotAllowed
	default:
		return ExitError
	}
}

// options holds the flags that all commands have.
type options struct {
	entries    []string
	keyFile    string
	caFile     string
	deployment string
	json       bool
}

// Command returns the tool's root command. openStore opens the platform's store at an address.
func Command(openStore func(address string) kv.TransactionalStore) *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "siskinctl",
		Short:         "operate a siskinloom deployment",
		Long:          "siskinctl checks, plans and applies declarations and shows a deployment's state.\n\n" + exitCodes,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&o.entries, "entry", nil, "ip:port of an entry's operator address; several are tried in turn")
	flags.StringVar(&o.keyFile, "key-file", "", "file with the operator's key; else it is taken from $"+keyVariable)
	flags.StringVar(&o.caFile, "ca", "", "certificate authority of the entries; without it the connection is not encrypted")
	flags.StringVar(&o.deployment, "deployment", "", "deployment; empty: the one that the entry serves")
	flags.BoolVar(&o.json, "json", false, "print JSON instead of tables")
	root.AddCommand(o.check(), o.plan(), o.apply(), o.status(), o.audit(), o.drain(), o.watch(), o.quarantine(), o.platform(openStore))
	return root
}
