/** The filter language of {@code --where}, which is the same for jobs, machines and events. */
package dapplestair.filter;
