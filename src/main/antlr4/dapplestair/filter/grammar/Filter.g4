/**
 * What may follow --where: comparisons of fields with values, put together by and, or, not.
 *
 *   team = "entoles" and waiting > 30s and not status in (done, aborted)
 */
grammar Filter;

filter : either EOF ;

either : both ( OR both )* ;

both : negation ( AND negation )* ;

negation : NOT* test ;

test
    : '(' either ')'                             # grouped
    | NAME comparison value                      # compared
    | NAME NOT? IN '(' value ( ',' value )* ')'  # listed
    | NAME                                       # flag
    ;

comparison : '=' | '!=' | '<' | '<=' | '>' | '>=' | '~' ;

value : TEXT | DURATION | NUMBER | NAME ;

AND : [aA][nN][dD] ;
OR  : [oO][rR] ;
NOT : [nN][oO][tT] ;
IN  : [iI][nN] ;

/** A number with a unit of time, counted in seconds. */
DURATION : DIGITS ( 'ms' | 's' | 'm' | 'h' | 'd' ) ;
NUMBER   : '-'? DIGITS ;
NAME     : [a-zA-Z_] [a-zA-Z0-9_./-]* ;
TEXT     : '"' ( ~["\\\r\n] | '\\' ["\\] )* '"' ;
BLANK    : [ \t\r\n]+ -> skip ;

fragment DIGITS : [0-9]+ ( '.' [0-9]+ )? ;
