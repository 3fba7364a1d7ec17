// Package platformpb is the generated code of api/platform.proto. Run `make generate` to regenerate it.
package platformpb
