/**
 * Contains the gate that every voluntary stop of a task passes, and each team's budget for such
 * stops (docs/disruption.md).
 */
package dapplestair.disruption;
