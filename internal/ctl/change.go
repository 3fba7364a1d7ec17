package ctl

import (
	"context"
	"fmt"

	"github.com/oklog/ulid/v2"
	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
)

// check returns the command that checks declarations locally.
func (o *options) check() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE|FOLDER...",
		Short: "check declarations without asking an entry",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := readFiles(args)
			if err != nil {
				return err
			}
			return o.reportFindings(cmd, checkFiles(files))
		},
	}
}

// reportFindings prints the findings and returns an error if there are any.
func (o *options) reportFindings(cmd *cobra.Command, findings []*operatorpb.Finding) error {
	if len(findings) == 0 {
		return nil
	}
	if o.json {
		if err := printJSON(cmd.OutOrStdout(), &operatorpb.PlanResponse{Findings: findings}); err != nil {
			return err
		}
		return &exitError{code: ExitFindings}
	}
	for _, f := range findings {
		position := f.File
		if f.Line > 0 {
			position = fmt.Sprintf("%s:%d", f.File, f.Line)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", position, f.Message)
	}
	return &exitError{code: ExitFindings}
}

// plan returns the command that shows what declarations would change.
func (o *options) plan() *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE|FOLDER...",
		Short: "show what declarations would change; exits with 2 if they change anything",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := readFiles(args)
			if err != nil {
				return err
			}
			plan, err := o.callPlan(cmd.Context(), files)
			if err != nil {
				return err
			}
			if err := o.reportFindings(cmd, plan.Findings); err != nil {
				return err
			}
			if err := o.print(cmd, plan, changeTable(plan.Changes)); err != nil {
				return err
			}
			if len(plan.Changes) > 0 {
				return &exitError{code: ExitDrift}
			}
			return nil
		},
	}
}

func (o *options) callPlan(ctx context.Context, files []*operatorpb.File) (plan *operatorpb.PlanResponse, err error) {
	err = o.callWithTimeout(ctx, func(ctx context.Context, client operatorpb.OperatorClient) error {
		plan, err = client.Plan(ctx, &operatorpb.PlanRequest{Deployment: o.deployment, Files: files})
		return err
	})
	return plan, err
}

func (o *options) apply() *cobra.Command {
	var expected int64
	var changeID string
	cmd := &cobra.Command{
		Use:   "apply FILE|FOLDER...",
		Short: "put declarations in force",
		Long: "apply puts declarations in force. It may be repeated, and run on each commit:\n" +
			"equal declarations change nothing, and a change id is accepted once.\n\n" + exitCodes,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := readFiles(args)
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("expected") {
				plan, err := o.callPlan(cmd.Context(), files)
				if err != nil {
					return err
				}
				expected = plan.Revision
			}
			isRepeat := changeID != ""
			if !isRepeat {
				changeID = ulid.Make().String()
			}
			return o.runApply(cmd, &operatorpb.ApplyRequest{
				Deployment: o.deployment, Files: files, ExpectedRevision: expected, ChangeId: changeID,
			}, isRepeat)
		},
	}
	cmd.Flags().Int64Var(&expected, "expected", 0, "revision that the change builds on; else the newest")
	cmd.Flags().StringVar(&changeID, "change-id", "", "names the change; give the same one to repeat a change whose outcome is unknown")
	return cmd
}

// runApply calls Apply and tries the next entry if one does not answer. The change
// ID ensures that the change is accepted only once. If mayTakeEffect is true, an
// earlier attempt may still take effect.
func (o *options) runApply(cmd *cobra.Command, request *operatorpb.ApplyRequest, mayTakeEffect bool) error {
	var response *operatorpb.ApplyResponse
	err := o.callWithTimeout(cmd.Context(), func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
		response, err = client.Apply(ctx, request)
		mayTakeEffect = mayTakeEffect || status.Code(err) == codes.Unavailable
		return err
	})
	if err != nil {
		if _, called := status.FromError(err); !called || ExitCode(err) == ExitNotAllowed {
			return err
		}
		return &exitError{code: ExitUnknown, text: fmt.Sprintf("%v\nThe outcome is unknown; repeat with --change-id %s", err, request.ChangeId)}
	}
	if err := o.reportFindings(cmd, response.Findings); err != nil {
		return err
	}
	if err := o.print(cmd, response, changeTable(response.Changes)); err != nil {
		return err
	}
	if !o.json {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: revision %d, change %s\n", response.Detail, response.Revision, request.ChangeId)
	}
	return applyExit(request, response, mayTakeEffect)
}

// applyExit returns the exit code for an answer. If an earlier attempt may still
// take effect, a refusal is final only if the configuration is newer than the
// expected revision. Otherwise the earlier write may still arrive, and the change
// would take effect after it was reported as refused.
func applyExit(request *operatorpb.ApplyRequest, response *operatorpb.ApplyResponse, mayTakeEffect bool) error {
	switch response.Outcome {
	case operatorpb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, operatorpb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED:
		return nil
	case operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED:
		if !mayTakeEffect || response.Revision > request.ExpectedRevision {
			return &exitError{code: ExitRefused}
		}
	}
	return &exitError{code: ExitUnknown, text: "the outcome is unknown; repeat with --change-id " + request.ChangeId}
}

func (o *options) drain() *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain INSTANCE",
		Short: "give an instance no new work, or with --undo give it work again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var response *operatorpb.DrainResponse
			err := o.callWithTimeout(cmd.Context(), func(ctx context.Context, client operatorpb.OperatorClient) (err error) {
				response, err = client.Drain(ctx, &operatorpb.DrainRequest{Deployment: o.deployment, Instance: args[0], Undo: undo})
				return err
			})
			if err != nil {
				return err
			}
			if o.json {
				return printJSON(cmd.OutOrStdout(), response)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: revision %d\n", response.Detail, response.Revision)
			return nil
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "give the instance work again")
	return cmd
}
