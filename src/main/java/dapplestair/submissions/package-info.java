/** What users ask: submitting, polling and withdrawing jobs, on any controller. */
package dapplestair.submissions;
