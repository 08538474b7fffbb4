/** What happened, for operators: a bounded log that a leader keeps. */
package dapplestair.events;
