/**
 * The one gate for every stop that is our own choice, and each team's budget for it
 * (docs/disruption.md).
 */
package dapplestair.disruption;
