package cvnode

import (
	"github.com/apex/log"

	"comfreyvale/core/cvmemory"
	"comfreyvale/io/balancers/cvbodies"
	"comfreyvale/io/operators/cvnodesettings"
)

// megabyte is the unit in which the settings give the VM's memory.
const megabyte = 1 << 20

// buildMemory creates the memory for messages and its metrics.
func (n *Node) buildMemory() {
	n.memory = &cvbodies.Memory{OnDropped: n.messageDropped}
	n.limitMemory(n.Settings)
	n.metrics.RegisterGauge("message_memory_limit_bytes", "Memory that all messages together may take.", func() float64 { return float64(n.memory.Limit()) })
	for _, kind := range []string{cvmemory.KindRequest, cvmemory.KindAnswer, cvmemory.KindConnection} {
		n.metrics.RegisterGauge("message_memory_"+kind+"_bytes", "Memory that messages of this kind take.", func() float64 { return float64(n.memory.Used(kind)) })
	}
}

// limitMemory sets the limits of the messages and of the garbage collector.
func (n *Node) limitMemory(settings *cvnodesettings.Settings) {
	n.memory.SetMachineMemory(int64(settings.MemoryMB()) * megabyte)
}

// messageDropped counts and logs that a message was dropped for lack of memory.
func (n *Node) messageDropped(kind, sender string, size int64, cause error) {
	n.metrics.MessageDropped(kind)
	n.Logger.WithFields(log.Fields{"kind": kind, "from": sender, "bytes": size, "limitBytes": n.memory.Limit()}).WithError(cause).Warn("message dropped for lack of memory")
}
