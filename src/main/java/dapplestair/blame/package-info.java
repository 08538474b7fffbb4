/** Attributes failures of tasks to a faulty job or a faulty machine (docs/blame.md). */
package dapplestair.blame;
