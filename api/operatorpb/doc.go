// Package operatorpb is the generated code of api/operator.proto. Run `make generate` to regenerate it.
package operatorpb
