package main

import (
	"testing"

	"github.com/saltbend/saltbend/test/flagdoc"
)

func TestFlagPage(t *testing.T) {
	flagdoc.Check(t, "../../docs/operations/saltbend.md", newParser(commands()))
}
