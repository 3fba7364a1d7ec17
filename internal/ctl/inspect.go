package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/policy/config"
)

func (o *options) status() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "show the revision in force at each instance and the holder of each duty",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var response *operatorpb.StatusResponse
			err := o.callWithTimeout(cmd.Context(), func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
				response, err = client.Status(ctx, &operatorpb.StatusRequest{Deployment: o.deployment})
				return err
			})
			if err != nil {
				return err
			}
			if !o.json {
				fmt.Fprintf(cmd.OutOrStdout(), "revision %d, platform service %s\n", response.Revision, response.Platform)
			}
			return o.print(cmd, response, instanceTable(response.Instances), dutyTable(response.Duties))
		},
	}
}

// auditOutcomes are the outcomes of changes in the audit trail.
var auditOutcomes = []string{config.OutcomeAccepted, config.OutcomeRefused, config.OutcomeUnknown}

func (o *options) audit() *cobra.Command {
	var since int64
	var limit int32
	var outcomes []string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "show changes and attempted changes with operator, time, address and outcome",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, outcome := range outcomes {
				if !slices.Contains(auditOutcomes, outcome) {
					return errors.Errorf("%q is none of the outcomes %s", outcome, strings.Join(auditOutcomes, ", "))
				}
			}
			var response *operatorpb.AuditResponse
			err := o.callWithTimeout(cmd.Context(), func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
				response, err = client.Audit(ctx, &operatorpb.AuditRequest{Deployment: o.deployment, SinceRevision: since, Limit: limit, Outcomes: outcomes})
				return err
			})
			if err != nil {
				return err
			}
			if err := o.print(cmd, response, auditTable(response.Records)); err != nil {
				return err
			}
			if response.NotListed > 0 && !o.json {
				fmt.Fprintf(cmd.OutOrStdout(), "%d more refused or unknown changes are not listed\n", response.NotListed)
			}
			return nil
		},
	}
	cmd.Flags().Int64Var(&since, "since", 0, "only changes after this revision")
	cmd.Flags().Int32Var(&limit, "limit", 0, "at most this number of the newest changes; 0: all")
	cmd.Flags().StringSliceVar(&outcomes, "outcome", nil, "only changes of these outcomes: "+strings.Join(auditOutcomes, ", "))
	return cmd
}

func (o *options) watch() *cobra.Command {
	var since int64
	cmd := &cobra.Command{
		Use:   "watch",
		Short: "print each change as it comes into force, until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.callEntries(cmd.Context(), func(ctx context.Context, client operatorpb.OperatorClient) error {
				stream, err := client.Watch(ctx, &operatorpb.WatchRequest{Deployment: o.deployment, SinceRevision: since})
				if err != nil {
					return err
				}
				return o.printStream(cmd, stream, &since)
			})
		},
	}
	cmd.Flags().Int64Var(&since, "since", 0, "start after this revision")
	return cmd
}

// printStream prints the changes of a watch until the stream ends. It updates since,
// so that the next entry continues after the last printed change.
func (o *options) printStream(cmd *cobra.Command, stream operatorpb.Operator_WatchClient, since *int64) error {
	for {
		response, err := stream.Recv()
		if errors.Is(err, io.EOF) || cmd.Context().Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		*since = response.Revision
		if o.json {
			if err := printJSON(cmd.OutOrStdout(), response); err != nil {
				return err
			}
			continue
		}
		for _, row := range auditTable([]*operatorpb.AuditRecord{response.Record}).rows {
			fmt.Fprintln(cmd.OutOrStdout(), joinRow(row))
		}
	}
}

func (o *options) quarantine() *cobra.Command {
	root := &cobra.Command{Use: "quarantine", Short: "requests that no endpoint may run because they crash it"}
	list := &cobra.Command{
		Use:   "list",
		Short: "list the quarantined requests",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var response *operatorpb.ListQuarantineResponse
			err := o.callWithTimeout(cmd.Context(), func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
				response, err = client.ListQuarantine(ctx, &operatorpb.ListQuarantineRequest{Deployment: o.deployment})
				return err
			})
			if err != nil {
				return err
			}
			return o.print(cmd, response, quarantineTable(response.Entries))
		},
	}
	release := &cobra.Command{
		Use:   "release FINGERPRINT",
		Short: "allow a quarantined request to run again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var response *operatorpb.ReleaseQuarantineResponse
			err := o.callWithTimeout(cmd.Context(), func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
				response, err = client.ReleaseQuarantine(ctx, &operatorpb.ReleaseQuarantineRequest{Deployment: o.deployment, Fingerprint: args[0]})
				return err
			})
			if err != nil {
				return err
			}
			if !response.Released {
				return errors.Errorf("%s is not quarantined", args[0])
			}
			return nil
		},
	}
	root.AddCommand(list, release)
	return root
}
