package fairshare_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFairshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairshare")
}

var start = time.Unix(1_000_000, 0)
