"""Log of unexpected exceptions."""


def log_exception(text: str, error: BaseException) -> None:
    """Logs an exception that nothing else handles, with its traceback."""
    # Imported here, as it takes 2 MB and few daemons ever log an exception.
    from loguru import logger

    logger.opt(exception=error).error(text)
