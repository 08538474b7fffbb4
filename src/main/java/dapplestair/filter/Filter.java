package dapplestair.filter;

import dapplestair.filter.grammar.FilterLexer;
import dapplestair.filter.grammar.FilterParser;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/** A condition on rows. Its fields and types are checked against a schema when it is parsed. */
@FunctionalInterface
public interface Filter {
  /** Maximum length of a filter. */
  int MAX_CHARACTERS = 2000;

  /** Maximum depth of parentheses, limited because the parser recurses and uses stack per level. */
  int MAX_NESTING = 40;

  /** Returns true if the row meets the condition. */
  boolean test(Row row);

  /** Returns a filter that matches every row. */
  static Filter matchAll() {
    return row -> true;
  }

  /** Parses a filter; an empty one matches every row. */
  static Filter read(String text, Schema schema) throws FilterException {
    if (text == null || text.isBlank()) {
      return matchAll();
    }
    checkBounds(text);
    FilterLexer lexer = new FilterLexer(CharStreams.fromString(text));
    FilterParser parser = new FilterParser(new CommonTokenStream(lexer));
    SyntaxErrorListener errorListener = new SyntaxErrorListener(text);
    lexer.removeErrorListeners();
    lexer.addErrorListener(errorListener);
    parser.removeErrorListeners();
    parser.addErrorListener(errorListener);
    try {
      return new FilterCompiler(schema).visit(parser.filter());
    } catch (ParseCancellationException e) {
      if (e.getCause() instanceof FilterException filterException) {
        throw filterException;
      }
      throw e;
    }
  }

  private static void checkBounds(String text) throws FilterException {
    if (text.length() > MAX_CHARACTERS) {
      throw new FilterException(
          MAX_CHARACTERS,
          "a filter may have " + MAX_CHARACTERS + " characters; this one has " + text.length());
    }
    int depth = 0;
    for (int i = 0; i < text.length(); i++) {
      depth += text.charAt(i) == '(' ? 1 : text.charAt(i) == ')' ? -1 : 0;
      if (depth > MAX_NESTING) {
        throw new FilterException(i, "more than " + MAX_NESTING + " levels of parentheses");
      }
    }
  }

  /** Ends parsing at the first syntax error. */
  final class SyntaxErrorListener extends BaseErrorListener {
    private final String text;

    SyntaxErrorListener(String text) {
      this.text = text;
    }

    @Override
    public void syntaxError(
        Recognizer<?, ?> recognizer,
        Object symbol,
        int line,
        int column,
        String message,
        RecognitionException e) {
      int position = column;
      // The parser counts columns within a line, but the position is an index into the whole text.
      for (int i = 1, lineStart = 0; i < line; i++) {
        lineStart = text.indexOf('\n', lineStart) + 1;
        position = lineStart + column;
      }
      throw new ParseCancellationException(new FilterException(position, toPlainWords(message)));
    }

    private static String toPlainWords(String message) {
      return message
          .replace("<EOF>", "the end")
          .replace("token recognition error at:", "not understood:")
          .replace("mismatched input", "unexpected")
          .replace("extraneous input", "unexpected")
          .replace("no viable alternative at input", "not understood:");
    }
  }
}
