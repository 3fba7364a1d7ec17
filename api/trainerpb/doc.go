// Package trainerpb is the generated code of api/trainer.proto. Run `make generate` to regenerate it.
package trainerpb
