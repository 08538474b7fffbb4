/**
 * What may follow --where: comparisons of fields with values, put together by and, or, not.
 *
 *   team = "entoles" and waiting > 30s and not status in (done, aborted)
 */
grammar Filter;

filter : or EOF ;

or : and ( OR and )* ;

and : not ( AND not )* ;

not : NOT not                                   # negated
    | '(' or ')'                                # grouped
    | field comparison value                    # compared
    | field NOT? IN '(' value ( ',' value )* ')' # listed
    | field                                     # flag
    ;

field : NAME ;

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
