package dapplestair.client;

import dapplestair.filter.Filter;
import dapplestair.filter.FilterException;
import dapplestair.filter.Schema;
import picocli.CommandLine.Option;

/** The filter option of commands that list rows. */
final class FilterOption {
  @Option(names = "--where", paramLabel = "EXPR", description = "only those that it holds for")
  private String where;

  /**
   * Returns the filter as a query parameter, or the empty string without a filter. A mistake in the
   * expression is reported here, before any request is sent.
   */
  String queryParameter(Schema schema) throws CommandException {
    try {
      Filter.read(where, schema);
      return where == null || where.isBlank() ? "" : "&where=" + ClientCommand.urlEncode(where);
    } catch (FilterException e) {
      throw new CommandException(CommandException.WRONG_USAGE, "--where:\n" + e.annotate(where));
    }
  }
}
