/** What users ask: submitting, polling and cancelling jobs, on any controller. */
package dapplestair.submissions;
