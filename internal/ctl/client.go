package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/operator"
)

const (
	keyVariable = "SISKINCTL_KEY" // environment variable with the operator's key
	callTimeout = 30 * time.Second
)

// key returns the operator's key from the key file or the environment. It is never
// an argument of the command, which every user of the machine could read.
func (o *options) key() (string, error) {
	if o.keyFile == "" {
		return os.Getenv(keyVariable), nil
	}
	text, err := os.ReadFile(o.keyFile)
	return strings.TrimSpace(string(text)), errors.Wrap(err, "key")
}

// transport returns the credentials of connections to entries.
func (o *options) transport() (credentials.TransportCredentials, error) {
	if o.caFile == "" {
		return insecure.NewCredentials(), nil
	}
	pem, err := os.ReadFile(o.caFile)
	if err != nil {
		return nil, errors.Wrap(err, "ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("ca: no certificate in %s", o.caFile)
	}
	return credentials.NewTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}), nil
}

// callEntries calls do for each entry in turn until one of them is available.
func (o *options) callEntries(ctx context.Context, do func(context.Context, operatorpb.OperatorClient) error) error {
	if len(o.entries) == 0 {
		return errors.New("no --entry is given")
	}
	key, err := o.key()
	if err != nil {
		return err
	}
	transport, err := o.transport()
	if err != nil {
		return err
	}
	ctx = metadata.AppendToOutgoingContext(ctx, operator.KeyMetadata, key)
	for _, entry := range o.entries {
		var conn *grpc.ClientConn
		if conn, err = grpc.NewClient(entry, grpc.WithTransportCredentials(transport)); err != nil {
			return errors.Wrap(err, entry)
		}
		err = do(ctx, operatorpb.NewOperatorClient(conn))
		_ = conn.Close()
		if status.Code(err) != codes.Unavailable {
			break
		}
	}
	return err
}

// callWithTimeout is callEntries with a timeout, for calls that are not streams.
func (o *options) callWithTimeout(ctx context.Context, do func(context.Context, operatorpb.OperatorClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.callEntries(ctx, do)
}
