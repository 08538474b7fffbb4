/** The small language of {@code --where}, the same for jobs, machines and events. */
package dapplestair.filter;
