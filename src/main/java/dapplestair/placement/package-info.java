/** Chooses a machine for each waiting task: earliest completion, guarantees, preemption. */
package dapplestair.placement;
