/** Events for operators, kept by the leader in a bounded log. */
package dapplestair.events;
