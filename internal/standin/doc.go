// Package standin provides small in-memory substitutes for the systems around
// siskinloom: the platform's services, batching engines, plain services and
// trainers. Their faults can be switched on and off, and they count what tests
// need to detect a repeated or mixed-up answer. Production code doesn't use them.
package standin
