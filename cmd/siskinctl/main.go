// Command siskinctl checks, plans and applies the declarations of a siskinloom
// deployment and shows its state.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"siskinloom.example/siskinloom/internal/ctl"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/platform"
)

// openStore opens the platform's store at an address.
func openStore(address string) kv.TransactionalStore { return platform.NewStore(address, nil) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := ctl.Command(openStore).ExecuteContext(ctx)
	stop()
	if err != nil && err.Error() != "" {
		fmt.Fprintln(os.Stderr, "siskinctl:", err)
	}
	os.Exit(ctl.ExitCode(err))
}
