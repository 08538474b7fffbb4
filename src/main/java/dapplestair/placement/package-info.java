/** Which waiting task goes to which machine: earliest completion, guarantees, preemption. */
package dapplestair.placement;
